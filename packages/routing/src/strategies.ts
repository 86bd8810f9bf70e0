/** Strategies for sharing slots between entries, by name: the default and the baselines of the benches. */

import type { Random } from "@anvilmux/common";
import { admitAll, admitWithinDeadline } from "./admission";
import { getArrival, getTargetStart } from "./ordering";
import type { SlotStrategy } from "./ServiceSlots";
import { newLeastInUse, newRandomChoice, newRoundRobin } from "./upstreamChoice";

export const strategyNames = [
    "steward",
    "static-shares",
    "own-view",
    "least-outstanding",
    "random",
    "round-robin",
    "single-fifo",
] as const;

export type StrategyName = typeof strategyNames[number];

/** More slots than are ever in use, so that requests queue in the upstream. */
const unlimitedSlots = 1_000_000;

const getAllSlots = (slots: number): number => slots;
const getUnlimitedSlots = (): number => unlimitedSlots;
const getShare = (slots: number, entriesInZone: number): number => Math.max(1, Math.floor(slots / entriesInZone));

export const newStrategy = (name: StrategyName, random: Random): SlotStrategy => {
    const chooseUpstream = newLeastInUse(random);
    const standard = {
        admit: admitWithinDeadline,
        getOrderKey: getTargetStart,
        chooseUpstream,
        protectsShortWork: true,
    };
    const plain = { admit: admitAll, getOrderKey: getArrival, chooseUpstream, protectsShortWork: false };
    switch (name) {
        case "steward":
            return { usesSteward: true, getOwnSlots: getShare, policy: standard };
        case "static-shares":
            return { usesSteward: false, getOwnSlots: getShare, policy: standard };
        case "own-view":
            return { usesSteward: false, getOwnSlots: getAllSlots, policy: standard };
        case "least-outstanding":
            return { usesSteward: false, getOwnSlots: getUnlimitedSlots, policy: plain };
        case "random":
            return {
                usesSteward: false,
                getOwnSlots: getUnlimitedSlots,
                policy: { ...plain, chooseUpstream: newRandomChoice(random) },
            };
        case "round-robin":
            return {
                usesSteward: false,
                getOwnSlots: getUnlimitedSlots,
                policy: { ...plain, chooseUpstream: newRoundRobin() },
            };
        case "single-fifo":
            return { usesSteward: true, getOwnSlots: getShare, policy: plain };
    }
};
