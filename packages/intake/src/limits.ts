/** Limits on what clients can make a process hold, and their defaults from the limits of the process itself. */

import type { Milliseconds } from "@anvilmux/common";
import { readFileSync } from "node:fs";
import { getHeapStatistics } from "node:v8";

export interface IntakeLimits {
    /** Memory that all clients together can occupy, in bytes. */
    readonly memoryBytes: number;
    /** Share of `memoryBytes` that the clients of one address can occupy. */
    readonly addressShare: number;
    /** Open connections of all servers of the process. */
    readonly connections: number;
    /** Open connections of each listener for other instances. */
    readonly peerConnections: number;
    /** Open connections to workers, which clients can announce. */
    readonly workerConnections: number;
    /** Requests of one connection without a complete response. */
    readonly openRequests: number;
    /** Bodies in very small chunks that are read at a time. */
    readonly fragmentedBodies: number;
    /** Time from the opening of a connection, or from the first byte of a later request, to the end of the headers. */
    readonly headersTimeoutMs: Milliseconds;
    /** The same to the end of the body. */
    readonly requestTimeoutMs: Milliseconds;
    /** Time for which a connection stays open between two requests. */
    readonly idleTimeoutMs: Milliseconds;
    /** Time for which a client may leave responses unread. */
    readonly unreadTimeoutMs: Milliseconds;
    readonly headerBytes: number;
}

/** What a process has, of which clients get a part. */
export interface ProcessResources {
    readonly heapBytes: number;
    readonly descriptors: number;
    /** Memory that the machine gives the process; absent where it is unknown. */
    readonly machineBytes?: number | undefined;
}

/** Memory of a connection with its parser and of a request with its response, before headers and bodies. */
export const connectionBytes = 8_192;
export const requestBytes = 8_192;
/** A body is held as bytes and, at the same time, as text or as its next larger buffer. */
export const bodyCopies = 2;

const defaultMemoryShare = 0.25;
/** Two configurations of 4 MiB, held twice each. */
const leastMemoryBytes = 16 * 1_048_576;
/** Beyond it a larger heap is better used for work that has begun. */
const mostMemoryBytes = 128 * 1_048_576;
/** A balancer may forward all clients from few addresses. */
const defaultAddressShare = 0.75;
/** The other descriptors are for workers, other instances and files. */
const connectionShareOfDescriptors = 0.5;
/** Two listeners for instances take at most a quarter of the descriptors. */
const peerConnectionShareOfDescriptors = 0.125;
/** Entries of a zone, owners of other zones or control instances, several times over. */
const leastPeerConnections = 256;
/** Each worker takes up to six connections, most of them one. */
const workerConnectionShareOfDescriptors = 0.25;
/** Without a bound, idle connections alone could exhaust the memory of all clients. */
const connectionShareOfMemory = 0.5;

/** What a process occupies with ordinary load; beyond it, a machine's memory is for clients and garbage. */
const ordinaryBytes = 110 * 1_048_576;
/** What is held for clients leaves about twice its size in garbage. */
const machineMemoryShare = 0.3;

const getDefaultMemory = ({ heapBytes, machineBytes = Infinity }: ProcessResources): number => {
    const wanted = Math.min(heapBytes * defaultMemoryShare, (machineBytes - ordinaryBytes) * machineMemoryShare);
    return Math.min(mostMemoryBytes, Math.max(leastMemoryBytes, Math.floor(wanted)));
};

export const getDefaultLimits = (
    resources: ProcessResources,
    memoryBytes = getDefaultMemory(resources),
): IntakeLimits => {
    const { descriptors } = resources;
    return {
        memoryBytes,
        addressShare: defaultAddressShare,
        connections: Math.floor(Math.min(
            descriptors * connectionShareOfDescriptors,
            memoryBytes * connectionShareOfMemory / connectionBytes,
        )),
        peerConnections: Math.max(
            leastPeerConnections,
            Math.floor(descriptors * peerConnectionShareOfDescriptors),
        ),
        workerConnections: Math.floor(descriptors * workerConnectionShareOfDescriptors),
        openRequests: 64,
        fragmentedBodies: 2,
        // A client may open a connection, use it after an idle time of 15 s, and take 3 s for its headers.
        headersTimeoutMs: 20_000,
        requestTimeoutMs: 30_000,
        idleTimeoutMs: 60_000,
        unreadTimeoutMs: 30_000,
        headerBytes: 16_384,
    };
};

/** POSIX guarantees no more than this where the limit cannot be read. */
const portableDescriptors = 256;
const descriptorsPattern = /^Max open files\s+(\d+)/m;

/** `machineBytes`: memory that the machine gives the process, where it is known. */
export const readProcessResources = (machineBytes?: number): ProcessResources => ({
    heapBytes: getHeapStatistics().heap_size_limit,
    descriptors: readDescriptorLimit(),
    machineBytes,
});

const readDescriptorLimit = (): number => {
    try {
        return Number(descriptorsPattern.exec(readFileSync("/proc/self/limits", "utf8"))?.[1] ?? portableDescriptors);
    }
    catch {
        return portableDescriptors;
    }
};
