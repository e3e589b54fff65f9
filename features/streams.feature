Feature: Every caller receives its whole answer

  Scenario: A router stops gracefully under fifty streams
    Given 50 streams run through router 1
    When router 1 is stopped gracefully
    Then every stream is whole

  Scenario: An agent stops gracefully under streams
    Given 12 streams run through router 0
    When an engine's agent is stopped gracefully
    Then every stream is whole
    And the agent took no new work after its stop began

  Scenario: Connections go silent in mid-stream
    Given 12 streams run through router 0
    When all connections to agents go silent
    Then every stream is whole

  Scenario: Connections go silent while a router drains
    Given 12 streams run through router 1
    When all connections to agents go silent
    And router 1 is stopped gracefully
    Then every stream is whole

  Scenario: A returning chat behind a silent connection
    Given a chat has been served through router 0
    When all connections to agents go silent
    And the chat returns through router 0
    Then every stream is whole

  @speed
  Scenario: The first word behind a silent connection
    Given a chat has been served through router 0
    When all connections to agents go silent
    And the chat returns through router 0
    Then its first word came within the target and one detection time

  Scenario: An engine dies in mid-stream
    Given 12 streams run through router 0
    When an engine falls over
    Then every stream is whole

  Scenario: A caller goes away
    Given 6 streams run through router 0
    When their callers go away
    Then the engines have no load within 2 seconds

  Scenario: A caller that reads slowly does not hold up others
    Given a caller that reads nothing of a large answer
    When a small request is made through the same router
    Then it is answered while the large answer waits
    And the agent holds no more than its window

  Scenario: A warm engine turns cold
    Given 12 streams run through router 0
    When an engine turns cold without a word
    And 12 streams more run through router 1
    Then every stream is whole
    And the cold engine never fell over
