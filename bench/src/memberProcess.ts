/**
 * Runs some members of a larger deployment in a separate process. Prints the address of its first member, then, at the
 * end of the measurement, the cost of its members as one JSON line.
 */

import { startMembers } from "./members";

const [count, offset, seedAddress, settleMs, durationMs] = process.argv.slice(2);
const members = await startMembers(Number(count), Number(offset), seedAddress ?? "");
process.stdout.write(members.firstAddress + "\n");
const cost = await members.measure(Number(settleMs), Number(durationMs));
process.stdout.write(JSON.stringify(cost) + "\n");
process.exit(0);
