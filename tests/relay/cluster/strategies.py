"""Hypothesis strategies for the cluster's messages, updates and frames."""

from hypothesis import strategies as st

from lynxscale.relay.cluster import frame, messages
from lynxscale.relay.cluster.frame import Message
from lynxscale.relay.cluster.membership_table import Identity, MemberUpdate, State
from lynxscale.relay.cluster.messages import Ballot, MembershipChange, View

NAMES = st.sampled_from(["r1", "r2", "r3", "nodo-ñ"])
SMALL = st.integers(0, 3)
UPDATES = st.builds(MemberUpdate, NAMES, SMALL, SMALL, SMALL, st.sampled_from(State), st.sampled_from(["", "r1"]))
IDENTITIES = st.builds(Identity, NAMES, SMALL, st.integers(0, (1 << 63) - 1))
CHANGES = st.builds(MembershipChange, st.tuples(NAMES), st.tuples(IDENTITIES), SMALL)
BALLOTS = st.builds(Ballot, SMALL, NAMES, SMALL)
VIEW_MESSAGES = st.one_of(
    st.builds(messages.Prepare, SMALL, SMALL, SMALL, CHANGES, st.booleans()),
    st.builds(messages.Promise, SMALL, BALLOTS, BALLOTS, st.none() | CHANGES, SMALL),
    st.builds(messages.Accept, SMALL, SMALL, SMALL, CHANGES, st.booleans()),
    st.builds(messages.Accepted, SMALL, BALLOTS),
    st.builds(messages.Reject, SMALL, BALLOTS, SMALL, st.just("lease")),
    st.builds(messages.Decided, SMALL, SMALL, CHANGES),
    st.builds(messages.LeaseRequest, SMALL, SMALL, SMALL),
    st.builds(messages.LeaseGrant, SMALL, SMALL),
    st.builds(messages.LeaseRelease, SMALL),
)
BODIES = st.one_of(
    st.builds(frame.Ping, SMALL, NAMES),
    st.builds(frame.Ack, SMALL, NAMES, SMALL, SMALL),
    st.builds(frame.PingRequest, SMALL, NAMES),
    st.builds(frame.Nack, SMALL),
    st.builds(frame.Gossip),
    st.builds(
        frame.Exchange,
        st.booleans(),
        st.none() | st.builds(View, SMALL, SMALL, st.tuples(IDENTITIES)),
        st.dictionaries(NAMES, SMALL),
        st.dictionaries(NAMES, SMALL),
    ),
    st.builds(frame.view_body, VIEW_MESSAGES),
)
MESSAGES = st.builds(
    Message, NAMES, SMALL, SMALL, SMALL, SMALL, SMALL, SMALL, SMALL, BODIES, st.lists(UPDATES, max_size=4)
)
KEY = frame.cluster_key("norte")
