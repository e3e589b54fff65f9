Feature: Placement, shares and explanations

  Scenario: A chat whose zone leaves keeps its context
    Given a chat has been served in some zone
    When operators take its zone out
    And the chat returns
    Then it is served in another zone from its context
    And the explanation names the server and the rule

  Scenario: A refused request is explained
    Given every zone is taken out
    When a chat is sent
    Then it is refused as "no-server" and ran is "no"
    And the explanation gives the same code

  Scenario: A server in cold start is explained
    Given every engine has turned cold
    When 12 chats come at once
    Then an explanation names a cold server
    And no engine fell over

  Scenario: A customer's surge does not move the others
    When a large customer surges tenfold
    Then the small customer has no refusal

  @speed
  Scenario: First words beside a customer's surge
    When a large customer surges tenfold
    Then the small customer has no refusal
    And its first words at 95 in 100 are within the target

  Scenario: A surge comes while every engine is cold
    Given every engine has turned cold
    When a large customer surges tenfold
    Then no engine fell over
