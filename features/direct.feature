Feature: A router without agents serves callers from backend servers

  Scenario: It is stopped while streams run
    Given a direct router with 2 backend servers
    And 20 streams run through it
    When it is asked to stop
    Then it is no longer ready
    And each stream is whole
    And it ends with status 0
    And its log tells of the start and the stop

  Scenario: The store is away and a server's entry changes
    Given a direct router with 2 backend servers
    When the store is down for 1 second and an entry is removed then
    Then orders reach the other server only

  Scenario: It is told to read its settings again
    Given a direct router with 2 backend servers
    And 5 streams run through it
    When its settings are broken and it is told to read them
    Then each stream is whole
    And its log names the field that is wrong

  Scenario: Faults from outside come in pairs
    When three routers are soaked for 8 seconds with seed 20
    Then no promise was broken
