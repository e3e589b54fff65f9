Feature: A router without agents serves callers from backend servers

  Scenario: The router is stopped while streams run
    Given a direct router with 2 backend servers
    And 20 streams run through it
    When the router is sent SIGTERM
    Then the router is no longer ready
    And each stream is complete
    And the router exits with status 0
    And its log contains the start and the stop

  Scenario: A server's entry is removed while the store is down
    Given a direct router with 2 backend servers
    When an entry is removed while the store is down for 1 second
    Then orders reach the other server only

  Scenario: The router is told to reload invalid settings
    Given a direct router with 2 backend servers
    And 5 streams run through it
    When its settings are made invalid and it is told to reload them
    Then each stream is complete
    And its log names the invalid field

  Scenario: Pairs of faults are injected
    When three routers are soaked for 8 seconds with seed 20
    Then no guarantee was violated
