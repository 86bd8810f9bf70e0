/** Checks a manifest before it is submitted: what control refuses, what is probably a mistake, and what changes. */
export * from "./checkCandidate";
export * from "./differences";
export * from "./documents";
export * from "./findings";
export * from "./limits";
export * from "./unmatchedEntries";
export * from "./update";
