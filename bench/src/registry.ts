/** All benches. */

import { slowdown } from "./benches/slowdown";
import type { Bench } from "./types";

export const benches: readonly Bench[] = [slowdown];
