Feature: Configuration, zones and membership

  Scenario: A change is in force everywhere within four seconds
    When an operator changes a service through router 0
    Then every process has the version within 4 seconds

  Scenario: A zone is taken out and the store goes down just after
    Given the table service is down from the next commit on
    When an operator takes zone "acc-2" out through router 0
    And 3 seconds pass
    And 30 chats are served through all routers
    Then no engine of zone "acc-2" made a word
    And every chat is whole

  Scenario: A router restarts while the store is down
    When an operator changes a service through router 0
    And the table service is taken down
    And router 2 is killed and started again
    Then router 2 has the version of router 0 and is ready
    And a chat through router 2 is whole

  Scenario: Two operators change the same thing
    When two operators who read the same version change a service
    Then the first is accepted
    And the second is told of the conflict and shown what won

  Scenario: The answer of a change is lost and the change repeated
    Given the table service loses the answer of the next write
    When an operator changes a service twice with one change id
    Then both answers name the same version

  Scenario: A change that names a zone that does not exist
    When an operator binds a service to zone "acc-9"
    Then the change is invalid and nothing has changed

  Scenario: A drained server takes no new work
    When an operator drains the engine "assistant-1"
    And 3 seconds pass
    And 30 chats are served through all routers
    Then the engine "assistant-1" made no word
    And every chat is whole

  Scenario: The holder of a lease is paused past its term
    Given every engine has loaded its model
    When the router that holds the lease is paused and another takes it
    And the service's model version is changed
    Then every engine has the new version
    When the paused router goes on
    Then no engine took an order with the old fencing number

  Scenario Outline: Mistakes of callers
    When a caller sends <mistake>
    Then the status is <status> with code "<code>"

    Examples:
      | mistake              | status | code           |
      | a bad key            | 401    | bad-key        |
      | an oversized body    | 413    | body-too-large |
      | a malformed chat     | 400    | bad-request    |
      | an unknown service   | 404    | no-service     |
      | an unknown path      | 404    | no-service     |
