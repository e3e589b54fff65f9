Feature: A protected order runs at most once

  Scenario: The same key through any router
    When an order is placed through router 0
    And the order is placed again through router 1
    Then both answers are the same
    And the order ran once

  Scenario: The same key with another body
    When an order is placed through router 0
    And the key is used with another body
    Then the answer is "key-reused" and ran is "no"
    And the order ran once

  Scenario: The claim's answer is lost and the repeat comes through another router
    Given the table service loses the next 3 answers
    When an order is placed through router 0 and 1 at once
    Then no two answers differ
    And the order ran once

  Scenario: The store is down
    Given the table service is down
    When an order is placed through router 0
    Then the answer is "store-down" and ran is "no"
    And the order did not run
    When the order is placed with the ticket of the refusal through router 1
    And the order is placed with the ticket of the refusal through router 2
    Then both answers are the same
    And the order ran once

  Scenario: The store is down and the agent of a ticket restarts
    Given the table service is down
    When an order is placed through router 0
    And the order is placed with the ticket of the refusal through router 1
    And the agent that ran it is killed and started again
    And the order is placed with the ticket of the refusal through router 2
    Then the answer is "order-unknown" and ran is "unknown"
    And the order ran once

  Scenario: An operator asks for the status of orders
    When an order is placed through router 0
    Then its status is "finished" through router 2
    When a ticket is taken through router 0
    Then the ticket's status is "none" through router 1
    When the order is placed with the ticket of the refusal through router 2
    Then the ticket's status is "finished" through router 1

  Scenario: The agent dies while the order runs
    When an order that takes long is placed through router 0
    And the agent that runs it is killed and started again
    Then the answer is "order-unknown" and ran is "unknown"
    When the order is placed again through router 1
    Then the answer is "order-unknown" and ran is "unknown"
    And the order ran once

  Scenario: The router dies while the order runs
    When an order that takes long is placed through router 2
    And router 2 is killed
    And the order is placed again through router 1
    Then the answer is the application's
    And the order ran once
