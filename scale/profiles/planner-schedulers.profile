# What a scheduler spends where there are more of them, beside the same workers, tasks and starts.
name planner-schedulers
host hollow-planners
seed 1
warm-up 14s
length 30s
workers 300
regions 5
zones 15
running 3000
starts 100
vary schedulers 3 10 30 100
hold-out 350
