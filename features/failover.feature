Feature: The serving tier survives the failure of processes, disks and links

  Background:
    Given a serving tier of 3 control members and 3 relays

  Scenario: Agent programs continue after the loss of the primary
    When turn "t1" of program "p" says "hello "
    And the primary loses power and its disk
    And turn "t2" of program "p" continues turn "t1" with "more"
    Then turn "t2" gets a complete response
    And the endpoint that executed "t2" got the input and output of "t1" before its own input

  Scenario: An acknowledged configuration survives the loss of all power
    When the operator sends version 5 on top of 1
    Then the operator gets 200
    When all control members lose power and one of them its disk
    Then the operator reads version 5

  Scenario: A committed change is acknowledged again by another primary
    When the operator sends version 5 on top of 1
    And the primary loses power and its disk
    And the operator sends version 5 on top of 1
    Then the operator gets 200

  Scenario: A partitioned primary steps down before another is elected
    When the primary is partitioned from the other members
    Then at no time within 4 seconds do two members act as primary
    And another member is primary

  Scenario: A budget is not spent twice
    When 6 concurrent turns of at most 40 tokens share a budget of 100
    Then 2 of them are executed and 4 get 402
