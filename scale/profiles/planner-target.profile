# All workers, tasks and starts of the target, and as many schedulers as fit: what one costs must be read with
# its own part of the tasks and starts, which is far greater here than beside 350.
name planner-target
host hollow-planners
seed 1
warm-up 15s
length 15s
schedulers 5
regions 5
zones 15
workers 10000
running 39000
starts 4900
