/** Structured logs: JSON lines through roarr, each with the instance and zone that wrote it. */

import { Roarr } from "roarr";

/** Fields added to a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
    readonly debug: (message: string, fields?: LogFields) => void;
    readonly info: (message: string, fields?: LogFields) => void;
    readonly warn: (message: string, fields?: LogFields) => void;
    readonly error: (message: string, fields?: LogFields) => void;
    /** A logger that adds `fields` to every line. */
    readonly with: (fields: LogFields) => Logger;
}

export type LogLevel = "debug" | "info" | "warn" | "error";

const levelNumbers: Readonly<Record<LogLevel, number>> = { debug: 20, info: 30, warn: 40, error: 50 };

type RoarrLogger = typeof Roarr;

const wrap = (roarr: RoarrLogger, minimum: number): Logger => {
    const write = (level: LogLevel) => (message: string, fields: LogFields = {}) => {
        if (levelNumbers[level] >= minimum) {
            roarr[level](fields, "%s", message);
        }
    };
    return {
        debug: write("debug"),
        info: write("info"),
        warn: write("warn"),
        error: write("error"),
        with: fields => wrap(roarr.child(fields) as RoarrLogger, minimum),
    };
};

/** Sends log lines of this process to `writeLine`, without the trailing newline. */
export const setLogDestination = (writeLine: (line: string) => void): void => {
    (globalThis as unknown as { ROARR: { write: (line: string) => void; }; }).ROARR.write = writeLine;
};

export const newLogger = (level: LogLevel, fields: LogFields): Logger =>
    wrap(Roarr.child(fields) as RoarrLogger, levelNumbers[level]);

/** Discards everything. */
export const newSilentLogger = (): Logger => {
    const ignore = () => undefined;
    const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore, with: () => logger };
    return logger;
};
