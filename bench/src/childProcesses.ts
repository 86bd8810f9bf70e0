/** Starts the processes of a bench and exchanges typed messages with them. */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { resolve } from "node:path";

/** Starts `program` with `options` for Node.js; it ends when this process disconnects from it. */
export const startProcess = (
    program: string,
    programArguments: object,
    options: readonly string[] = [],
): ChildProcess =>
    spawn(
        process.execPath,
        [...options, resolve("dist/bench.js"), "process", program, JSON.stringify(programArguments)],
        // The logging library writes lines only when this variable is set.
        { stdio: ["ignore", "ignore", "inherit", "ipc"], env: { ...process.env, ROARR_LOG: "true" } },
    );

export const stopProcess = async (child: ChildProcess): Promise<void> => {
    const exited = once(child, "exit");
    child.disconnect();
    await exited;
};

/** The next message of a type; rejects when the process exits before it was sent. */
export const receiveMessage = <Message extends { readonly type: string; }, Type extends Message["type"]>(
    child: ChildProcess,
    type: Type,
): Promise<Extract<Message, { readonly type: Type; }>> =>
    new Promise((resolveMessage, reject) => {
        const listener = (message: unknown) => {
            if ((message as Message).type === type) {
                child.off("message", listener);
                child.off("exit", fail);
                resolveMessage(message as Extract<Message, { readonly type: Type; }>);
            }
        };
        const fail = (code: unknown) => reject(new Error(`process exited with code ${code} before "${type}"`));
        child.on("message", listener);
        child.once("exit", fail);
    });
