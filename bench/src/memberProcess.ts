/**
 * Some members of a larger deployment in a process of their own. Prints the address of its first member, then, at the
 * end of the measured span, what its members cost as one JSON line.
 */

import { startMembers } from "./members";

const [count, offset, seed, settleMs, durationMs] = process.argv.slice(2);
const members = await startMembers(Number(count), Number(offset), seed ?? "");
process.stdout.write(members.firstAddress + "\n");
const cost = await members.measure(Number(settleMs), Number(durationMs));
process.stdout.write(JSON.stringify(cost) + "\n");
process.exit(0);
