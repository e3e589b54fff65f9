Feature: Every caller receives its complete response

  Scenario: A router stops gracefully under fifty streams
    Given 50 streams run through router 1
    When router 1 is stopped gracefully
    Then every stream is complete

  Scenario: An agent stops gracefully under streams
    Given 12 streams run through router 0
    When an engine's agent is stopped gracefully
    Then every stream is complete
    And the agent took no new work after its stop began

  Scenario: Connections go silent in mid-stream
    Given 12 streams run through router 0
    When all connections to agents go silent
    Then every stream is complete

  Scenario: Connections go silent while a router drains
    Given 12 streams run through router 1
    When all connections to agents go silent
    And router 1 is stopped gracefully
    Then every stream is complete

  Scenario: A chat returns while its connection is silent
    Given a chat has been served through router 0
    When all connections to agents go silent
    And the chat returns through router 0
    Then every stream is complete

  @speed
  Scenario: Time to first token with a silent connection
    Given a chat has been served through router 0
    When all connections to agents go silent
    And the chat returns through router 0
    Then its first token came within the target plus the detection time

  Scenario: An engine is killed in mid-stream
    Given 12 streams run through router 0
    When an engine is killed and started again
    Then every stream is complete

  Scenario: Callers disconnect
    Given 6 streams run through router 0
    When their callers disconnect
    Then the engines have no load within 2 seconds

  Scenario: A caller that reads slowly does not delay others
    Given a caller that reads nothing of a large response
    When a small request is made through the same router
    Then it is answered while the large response waits
    And no agent buffers more than two windows

  Scenario: A warm engine restarts cold
    Given 12 streams run through router 0
    When an engine restarts cold without notice
    And 12 streams more run through router 1
    Then every stream is complete
    And the cold engine did not crash
