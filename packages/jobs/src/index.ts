/** The job path: submissions, ownership of workers, placement and results. */
export * from "./constants";
export * from "./errors";
export * from "./JobManager";
export * from "./placement";
export * from "./runTasks";
export * from "./TaskPool";
export * from "./types";
export * from "./WorkerIndex";
export * from "./WorkerLink";
