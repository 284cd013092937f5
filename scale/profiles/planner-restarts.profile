# What it takes a scheduler to come back while others run: its workers tell it which of its tasks they hold.
name planner-restarts
host hollow-planners
seed 1
warm-up 20s
length 30s
schedulers 12
workers 1000
regions 5
zones 15
starts 10
failures 24
vary running 300 1000 3000 10000
hold-out 39000
