# What a scheduler spends on tasks that run: workers tell of each once a second.
name planner-running
host hollow-planners
seed 1
warm-up 20s
length 30s
schedulers 12
workers 1000
regions 5
zones 15
starts 10
vary running 300 1000 3000 10000
hold-out 39000
