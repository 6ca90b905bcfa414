"""Places experts on ranks and decides which changes are worth their cost.

A rank is as slow as its load, the tokens that its experts process, over its speed. All
ranks wait for the slowest. An expert can have replicas on several ranks, which share
its load. The *skew* of a layer is the time of the slowest rank over the time if all
ranks were balanced; its *excess* is the skew minus 1. To hold another expert, a rank
has to load its weights; the number of these *weight loads* is limited, and each has a
cost.

Two searches improve an existing placement:

- :mod:`.move_search` tries a few single moves. The replicas of an expert split its load
  as the policy says, by default so that the ranks finish at similar times.
- :mod:`.plan` takes many steps of :mod:`.greedy_search`, for engines whose replicas
  split the load evenly.
"""
