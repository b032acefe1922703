"""What others want carried to every node: the latest post of each author on each topic. No I/O.

A post has a number that only grows; the higher one wins, so that posts merge in any order to the
same board. Membership carries posts and reads none of them.
"""

from __future__ import annotations

from collections.abc import Iterable

from badgercart.cluster.codec import Posted

MAX_POSTS = 16_384
MAX_POST = 512  # bytes of what one says: with its head it fits a datagram beside some claims


class GossipRegisters:
    """The latest posts by topic and author."""

    def __init__(self, most: int = MAX_POSTS) -> None:
        self.posts: dict[tuple[str, str], Posted] = {}
        self.topics: set[str] = set()
        self.urgent: set[str] = set()  # topics that are passed on as they come
        self.direct: set[str] = set()  # topics that are for whom they are sent to alone
        self.most = most
        self.turned_away = 0

    def follow(self, topic: str, urgent: bool = False, direct: bool = False) -> None:
        """Carry a topic's posts. What nobody here follows is not carried: versions differ in
        topics."""
        self.topics.add(topic)
        if urgent:
            self.urgent.add(topic)
        if direct:
            self.direct.add(topic)

    def merge(self, post: Posted) -> bool:
        """Whether it is news."""
        topic, author, number, said = post
        if topic not in self.topics or len(said) > MAX_POST or not 0 <= number < 1 << 63:
            self.turned_away += 1
            return False
        before = self.posts.get((topic, author))
        if before is not None and (before[2], before[3]) >= (number, said):
            return False
        if before is None and len(self.posts) >= self.most:
            self.turned_away += 1
            return False
        self.posts[topic, author] = post
        return True

    def forget(self, authors: Iterable[str]) -> None:
        """Drop all that these have posted."""
        gone = set(authors)
        for key in [key for key in self.posts if key[1] in gone]:
            del self.posts[key]
