/** Crashes of the replica storage at random points: everything acknowledged before must be read after reopening. */

import { MemoryFiles, newRandom } from "@anvilmux/common";
import { ReplicaStorage } from "@anvilmux/control";
import type { LogEntry } from "@anvilmux/protocol";
import { CommandSchema, ControlSnapshotSchema, LogEntrySchema } from "@anvilmux/protocol";
import { create, toBinary } from "@bufbuild/protobuf";
import type { Bench } from "../types";

const crashPoints = 1_500;
const maximumStepsPerIncarnation = 12;

const command = toBinary(CommandSchema, create(CommandSchema, { kind: { case: "noOperation", value: true } }));

const newEntry = (index: bigint, term: bigint): LogEntry => create(LogEntrySchema, { index, term, command });

export const durability: Bench = {
    name: "durability",
    description: "acknowledged entries, votes and snapshots after crashes at random points",
    run: async seed => {
        const random = newRandom(seed);
        const files = new MemoryFiles();
        let acknowledged = 0n;
        let term = 1n;
        let lostEntries = 0;
        let lostVotes = 0;
        let failedOpens = 0;
        for (let point = 0; point < crashPoints; point++) {
            let storage: ReplicaStorage;
            try {
                storage = await ReplicaStorage.open(files, "node");
            }
            catch {
                failedOpens += 1;
                break;
            }
            lostEntries += storage.log.lastIndex < acknowledged ? 1 : 0;
            lostVotes += storage.vote.term < term - 1n ? 1 : 0;
            acknowledged = storage.log.lastIndex;
            const steps = 1 + random.integer(maximumStepsPerIncarnation);
            for (let step = 0; step < steps; step++) {
                const choice = random.next();
                if (choice < 0.8) {
                    const count = 1 + random.integer(5);
                    const first = storage.log.lastIndex + 1n;
                    storage.log.truncateAndAppend(
                        Array.from({ length: count }, (_unused, number) => newEntry(first + BigInt(number), term)),
                    );
                    const written = storage.log.persist();
                    // The crash interrupts the last write of an incarnation.
                    if (step < steps - 1) {
                        await written;
                        acknowledged = storage.log.lastIndex;
                    }
                    else {
                        files.crash(random);
                        await written.catch(() => undefined);
                    }
                }
                else if (choice < 0.9) {
                    await storage.saveVote({ term, votedFor: "node" });
                    term += 1n;
                }
                else if (acknowledged > 0n) {
                    const lastTerm = storage.log.getTerm(acknowledged) ?? term;
                    await storage.saveSnapshot(create(ControlSnapshotSchema, { lastIndex: acknowledged, lastTerm }));
                    await storage.log.compact(acknowledged - 3n);
                }
            }
            files.crash(random);
        }
        return {
            metrics: { crashPoints, lostEntries, lostVotes, failedOpens, entries: Number(acknowledged) },
            baseline: {},
            targets: [
                { metric: "crashPoints", bound: "at-least", value: 1_000 },
                { metric: "lostEntries", bound: "at-most", value: 0 },
                { metric: "lostVotes", bound: "at-most", value: 0 },
                { metric: "failedOpens", bound: "at-most", value: 0 },
            ],
        };
    },
};
