/** All benches, in the order in which they are listed. */

import { capacity } from "./benches/capacity";
import { connected } from "./benches/connected";
import { controlCost } from "./benches/controlCost";
import { crest } from "./benches/crest";
import { dispatch } from "./benches/dispatch";
import { drain } from "./benches/drain";
import { durability } from "./benches/durability";
import { failover } from "./benches/failover";
import { headOfLine } from "./benches/headOfLine";
import { jobs } from "./benches/jobs";
import { manifestPropagation } from "./benches/manifestPropagation";
import { once } from "./benches/once";
import { overhead } from "./benches/overhead";
import { partition } from "./benches/partition";
import { slowdown } from "./benches/slowdown";
import { wastedMessages } from "./benches/wastedMessages";
import type { Bench } from "./types";

export const benches: readonly Bench[] = [
    slowdown,
    crest,
    headOfLine,
    wastedMessages,
    overhead,
    manifestPropagation,
    failover,
    durability,
    once,
    drain,
    partition,
    jobs,
    controlCost,
    capacity,
    dispatch,
    connected,
];
