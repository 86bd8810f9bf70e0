/**
 * Tells which of our processes opened a connection on loopback, where all have the same address: the kernel lists the socket with
 * its port, and the process's open files name the socket.
 */

import { readdirSync, readFileSync, readlinkSync } from "node:fs";

/** The name of the process with that connection; undefined when none of them has it. */
export const findConnectionSource = (
    port: number,
    forwarderPort: number,
    processes: ReadonlyMap<string, number>,
): string | undefined => {
    const inode = findInode(port, forwarderPort);
    return inode === undefined
        ? undefined
        : [...processes].find(([, pid]) => getSocketNames(pid).includes(`socket:[${inode}]`))?.[0];
};

/** Columns after the addresses: state, queues, timer, retransmissions, user, time-out, inode. */
const findInode = (port: number, forwarderPort: number): string | undefined => {
    const [local, remote] = [toHexadecimal(port), toHexadecimal(forwarderPort)];
    const pattern = new RegExp(`${local} [0-9A-F]+${remote} \\S+ \\S+ \\S+ \\S+ +\\d+ +\\d+ (\\d+)`);
    return pattern.exec(readFileSync("/proc/net/tcp", "utf8"))?.[1];
};

const toHexadecimal = (port: number): string => `:${port.toString(16).toUpperCase().padStart(4, "0")}`;

const getSocketNames = (pid: number): readonly string[] => {
    try {
        return readdirSync(`/proc/${pid}/fd`).map(file => readLink(`/proc/${pid}/fd/${file}`));
    }
    catch {
        // The process has ended.
        return [];
    }
};

const readLink = (path: string): string => {
    try {
        return readlinkSync(path);
    }
    catch {
        // The file has been closed meanwhile.
        return "";
    }
};
