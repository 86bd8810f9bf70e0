/** Structured logging with roarr: JSON lines, each with the fields of its logger, such as instance and zone. */

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

const wrapRoarr = (roarr: RoarrLogger, minimumLevel: number): Logger => {
    const write = (level: LogLevel) => (message: string, fields: LogFields = {}) => {
        if (levelNumbers[level] >= minimumLevel) {
            roarr[level](fields, "%s", message);
        }
    };
    return {
        debug: write("debug"),
        info: write("info"),
        warn: write("warn"),
        error: write("error"),
        with: fields => wrapRoarr(roarr.child(fields) as RoarrLogger, minimumLevel),
    };
};

/** Passes every log line of this process to `writeLine`, without a trailing newline. */
export const setLogDestination = (writeLine: (line: string) => void): void => {
    (globalThis as unknown as { ROARR: { write: (line: string) => void; }; }).ROARR.write = writeLine;
};

export const newLogger = (level: LogLevel, fields: LogFields): Logger =>
    wrapRoarr(Roarr.child(fields) as RoarrLogger, levelNumbers[level]);

/** A logger that discards all lines. */
export const newSilentLogger = (): Logger => {
    const ignore = () => undefined;
    const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore, with: () => logger };
    return logger;
};
