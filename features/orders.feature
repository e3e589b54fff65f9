Feature: A protected order runs at most once

  Scenario: The same key through any router
    When an order is placed through router 0
    And the order is placed again through router 1
    Then both responses are the same
    And the order ran once

  Scenario: The same key with another body
    When an order is placed through router 0
    And the key is used with another body
    Then the response is "key-reused" and ran is "no"
    And the order ran once

  Scenario: The response to a claim is lost and the retry uses another router
    Given the table service drops the next 3 responses
    When an order is placed through router 0 and 1 at once
    Then no two responses differ
    And the order ran once

  Scenario: The store is down
    Given the table service is down
    When an order is placed through router 0
    Then the response is "store-down" and ran is "no"
    And the order did not run
    When the order is placed with the ticket of the refusal through router 1
    And the order is placed with the ticket of the refusal through router 2
    Then both responses are the same
    And the order ran once

  Scenario: The store is down and the agent of a ticket restarts
    Given the table service is down
    When an order is placed through router 0
    And the order is placed with the ticket of the refusal through router 1
    And the agent that ran it is killed and started again
    And the order is placed with the ticket of the refusal through router 2
    Then the response is "order-unknown" and ran is "unknown"
    And the order ran once

  Scenario: An operator asks for the status of orders
    When an order is placed through router 0
    Then its status is "finished" through router 2
    When a ticket is taken through router 0
    Then the ticket's status is "none" through router 1
    When the order is placed with the ticket of the refusal through router 2
    Then the ticket's status is "finished" through router 1

  Scenario: The agent is killed while the order runs
    When a slow order is placed through router 0
    And the agent that runs it is killed and started again
    Then the response is "order-unknown" and ran is "unknown"
    When the order is placed again through router 1
    Then the response is "order-unknown" and ran is "unknown"
    And the order ran once

  Scenario: The router is killed while the order runs
    When a slow order is placed through router 2
    And router 2 is killed
    And the order is placed again through router 1
    Then the response is the application's
    And the order ran once
