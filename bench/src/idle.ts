import { startDeployment } from "./requestPath";
const d = await startDeployment("steward");
await new Promise(r => setTimeout(r, 12000));
await Promise.all(d.processes.map(p => d.end(p.id, "SIGTERM")));
process.exit(0);
