"""One process that takes over from another. ``lives`` tells whether this one is alone;
``inherited`` takes the socket that the platform holds for both."""
