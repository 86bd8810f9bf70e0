/** The manifest: the generated, signed release document that operators' pipelines submit. */
export * from "./authority";
export * from "./constants";
export * from "./documents";
export * from "./errors";
export * from "./parseManifest";
export * from "./schema";
export * from "./signature";
