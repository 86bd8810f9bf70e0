/** Runs a stand-in upstream in a separate process. */

import { StandInUpstream } from "@anvilmux/stand-ins";

const [port, slots] = process.argv.slice(2);
const upstream = new StandInUpstream({ id: "upstream", slots: Number(slots), port: Number(port) });
await upstream.listen();
