/**
 * The public interface of the library, for programs that embed anvilmux.
 *
 * @example
 * const { settings } = loadSettings({ "instance-id": "entry-1", zone: "eire-dub" }, process.env);
 * const instance = new Instance(settings);
 * await instance.start();
 */
export * from "./environment";
export * from "./errors";
export * from "./http/CallerPresence";
export * from "./http/isCallerPresent";
export { newApp } from "./http/PublicServer";
export * from "./Instance";
export * from "./roles/ControlInstance";
export * from "./roles/DispatchEntry";
export type { DispatchEntryOptions } from "./roles/dispatchEntryOptions";
export { defineBaseServices, readTrustedKeys } from "./services/base";
export { defineControlServices } from "./services/control";
export { defineEntryServices } from "./services/entry";
export { definePeerServices } from "./services/peers";
export * from "./settings";
export type { DeploymentStatus, InstanceStatus, ReplicaStatus } from "./status";
export * from "./tokens";
export * from "./zoneDrains";
