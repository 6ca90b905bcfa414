"""The other gateways: who they are and what they tell."""
