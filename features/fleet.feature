Feature: Configuration, zones and membership

  Scenario: A change takes effect everywhere within four seconds
    When an operator changes a service through router 0
    Then every process has the version within 4 seconds

  Scenario: A zone is taken out and the store goes down right after
    Given the table service is down from the next commit on
    When an operator takes zone "acc-2" out through router 0
    And 3 seconds pass
    And 30 chats are served through all routers
    Then no engine of zone "acc-2" generated a word
    And every chat is complete

  Scenario: A router restarts while the store is down
    When an operator changes a service through router 0
    And the table service is taken down
    And router 2 is killed and started again
    Then router 2 has the version of router 0 and is ready
    And a chat through router 2 is complete

  Scenario: Two operators change the same thing
    When two operators who read the same version change a service
    Then the first is accepted
    And the second is refused and shown the conflicting change

  Scenario: The response to a change is lost and the change is retried
    Given the table service drops the response to the next write
    When an operator changes a service twice with one change id
    Then both responses name the same version

  Scenario: A change that names a zone that does not exist
    When an operator binds a service to zone "acc-9"
    Then the change is invalid and nothing has changed

  Scenario: A drained server takes no new work
    When an operator drains the engine "assistant-1"
    And 3 seconds pass
    And 30 chats are served through all routers
    Then the engine "assistant-1" generated no word
    And every chat is complete

  Scenario: The holder of a lease is paused until its lease expires
    Given every engine has loaded its model
    When the router that holds the lease is paused and another acquires it
    And the service's model version is changed
    Then every engine has the new version
    When the paused router resumes
    Then no engine accepted an order with the old fencing token

  Scenario Outline: Invalid requests
    When a caller sends <mistake>
    Then the status is <status> with code "<code>"

    Examples:
      | mistake              | status | code           |
      | a bad key            | 401    | bad-key        |
      | an oversized body    | 413    | body-too-large |
      | a malformed chat     | 400    | bad-request    |
      | an unknown service   | 404    | no-service     |
      | an unknown path      | 404    | no-service     |
