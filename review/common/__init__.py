"""Stand-ins and helpers of the scripts."""
