@0xb1d2a64e7c3f9085;
# The messages between entry hosts. Fields are only added, never renumbered or reused, so that
# hosts of two releases understand each other.

struct Holder {
  host @0 :Text;
  incarnation @1 :UInt64;
}

# What one host believes of another.
struct Record {
  holder @0 :Holder;
  refutation @1 :UInt32;
  domain @2 :Text;
  address @3 :Text;
  standing @4 :Standing;
  intent @5 :Intent;

  enum Standing {
    alive @0;
    suspect @1;
    down @2;
  }

  enum Intent {
    staying @0;
    leaving @1;
  }
}

# How much the sender knows of one host.
struct Line {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  version @3 :UInt64;
}

struct Entry {
  key @0 :Text;
  version @1 :UInt64;
  union {
    removed @2 :Void;
    value @3 :Data;
  }
}

# The entries of one owner that are newer than `after`.
struct Delta {
  owner @0 :Holder;
  after @1 :UInt64;
  upto @2 :UInt64;
  entries @3 :List(Entry);
}

# One datagram of gossip.
struct Gossip {
  protocol @0 :UInt16;
  sender @1 :Record;
  revision @2 :UInt64;
  records @3 :List(Record);
  union {
    news @4 :Void;
    ping @5 :UInt64;
    ack @6 :UInt64;
    relay @7 :Relay;
    join @8 :Void;
    sync @9 :List(Line);
    delta @10 :Update;
  }

  struct Relay {
    number @0 :UInt64;
    target @1 :Text;
  }

  struct Update {
    deltas @0 :List(Delta);
    wanted @1 :List(Line);
    remaining @2 :List(Line);
  }
}

struct Ask {
  request @0 :Text;
  holder @1 :Holder;
  reference @2 :Text;
  model @3 :Text;
  tenant @4 :Text;
  class @5 :Text;
  remainingUs @6 :UInt64;
  prefix @7 :UInt64;
  maxTokens @8 :UInt32;
}

struct Permit {
  number @0 :UInt64;
  upstream @1 :Text;
  address @2 :Text;
  loaded @3 :Text;
  fence @4 :UInt64;
  startByUs @5 :UInt64;
  runByUs @6 :UInt64;
  loadStallUs @7 :UInt64;
  queueWaitUs @8 :UInt64;
}

struct Fault {
  kind @0 :Text;
  detail @1 :Text;
  retryAfter :union {
    unknown @2 :Void;
    us @3 :UInt64;
  }
}

struct Verdict {
  union {
    elsewhere @0 :Void;
    granted @1 :Permit;
    refused @2 :Fault;
  }
}

struct Release {
  engine @0 :Text;
  fence @1 :UInt64;
  number @2 :UInt64;
  outcome @3 :Outcome;

  enum Outcome {
    whole @0;
    unused @1;
    refused @2;
    broken @3;
    cancelled @4;
    leaving @5;
  }
}

# What a steward tells the host that lends out the weight store's limits. Counts are totals.
struct Demand {
  mode @0 :Mode;
  fence @1 :UInt64;
  wanted @2 :UInt32;
  received @3 :UInt64;
  ended @4 :UInt64;
  returned @5 :UInt64;

  enum Mode {
    floor @0;
    pooled @1;
  }
}

# What the lending host tells a steward. Counts are totals.
struct Loan {
  fence @0 :UInt64;
  total @1 :UInt64;
  queued @2 :UInt32;
  # Loads a second.
  rate @3 :Float64;
}

# What a connection gets before it has proved the cluster key.
interface Door {
  # Gives the nonce that this connection's proof has to cover.
  challenge @0 () -> (protocol :UInt16, nonce :Data);

  # Proves the key; the answer proves it in turn over the caller's nonce.
  enter @1 (protocol :UInt16, member :Holder, nonce :Data, proof :Data) -> (peer :Peer, proof :Data);
}

# What a member may ask of another.
interface Peer {
  place @0 (ask :Ask) -> (verdict :Verdict);
  release @1 (release :Release) -> ();
  revisions @2 (after :UInt64) -> (revisions :List(Data), highest :UInt64);
  explain @3 (request :Text) -> (found :Bool, text :Text);
  demand @4 (demand :Demand) -> ();
  lend @5 (loan :Loan) -> ();
  # The host list as read last, and how long ago; a negative age if it was never read.
  hosts @6 () -> (list :Data, ageMillis :Int64);
}
