Feature: Placement, customers' shares and explanations

  Scenario: A chat keeps its context when its zone is taken out
    Given a chat has been served in some zone
    When operators take its zone out
    And the chat returns
    Then it is served in another zone with its cached context
    And the explanation names the server and the rule

  Scenario: A refused request is explained
    Given every zone is taken out
    When a chat is sent
    Then it is refused as "no-server" and ran is "no"
    And the explanation gives the same code

  Scenario: A server in cold start is explained
    Given every engine has been restarted cold
    When 12 chats are sent at once
    Then an explanation names a cold server
    And no engine crashed

  Scenario: A customer's load peak does not affect other customers
    When a large customer's load rises tenfold
    Then the small customer has no refusal

  @speed
  Scenario: Time to first token during a customer's load peak
    When a large customer's load rises tenfold
    Then the small customer has no refusal
    And the 95th percentile of its time to first token is within the target

  Scenario: A load peak while every engine is cold
    Given every engine has been restarted cold
    When a large customer's load rises tenfold
    Then no engine crashed
