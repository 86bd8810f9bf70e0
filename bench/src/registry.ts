/** All benches. */

import { crest } from "./benches/crest";
import { headOfLine } from "./benches/headOfLine";
import { overhead } from "./benches/overhead";
import { slowdown } from "./benches/slowdown";
import { wastedMessages } from "./benches/wastedMessages";
import type { Bench } from "./types";

export const benches: readonly Bench[] = [slowdown, headOfLine, crest, wastedMessages, overhead];
