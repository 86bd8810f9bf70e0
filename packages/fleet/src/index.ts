/** The fleet of entries and control instances: held connections, membership of a zone, announcements of workers. */
export * from "./ControlHub";
export * from "./ControlLinks";
export * from "./messages";
export * from "./OwnerLinks";
export * from "./WorkerDirectory";
export * from "./ZoneMesh";
