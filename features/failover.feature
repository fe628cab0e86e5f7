Feature: The tier outlasts the loss of what it runs on

  Background:
    Given a tier of 3 control members and 3 relays that serves

  Scenario: The primary is killed and programs go on
    When turn "t1" of program "p" says "hello "
    And the primary loses power and its disk
    And turn "t2" of program "p" goes on from "t1" with "more"
    Then turn "t2" is answered whole
    And the endpoint that ran "t2" got the input and output of "t1" first

  Scenario: A configuration that was acknowledged outlasts the loss of all power
    When the operator sends version 5 on top of 1
    Then the operator gets 200
    When all control members lose power and one its disk
    Then the operator reads version 5

  Scenario: A change that was taken is acknowledged again by another primary
    When the operator sends version 5 on top of 1
    And the primary loses power and its disk
    And the operator sends version 5 on top of 1
    Then the operator gets 200

  Scenario: A primary that is cut off stops before another begins
    When the primary is cut off from the other members
    Then never do two members act as primary for 4 seconds
    And another member is primary

  Scenario: A budget is not given out twice
    When 6 turns of 40 tokens at most run at once on a budget of 100
    Then 2 of them run and 4 get 402
