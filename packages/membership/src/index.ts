/** Which instances, upstreams and workers exist, as each instance learns it from the others. */
export * from "./constants";
export * from "./LeaseRegistry";
export * from "./Membership";
export * from "./MemberTable";
export * from "./types";
