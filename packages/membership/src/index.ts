/** Gossip membership: the known instances, upstreams and workers, as replicated between instances. */
export * from "./constants";
export * from "./LeaseRegistry";
export * from "./Membership";
export * from "./MemberTable";
export * from "./types";
