/**
 * The fault soak: `npm run soak -- --seeds 1-50` plays each seed in a process of its own, some at a time, and ends with
 * status 1 when a promise was broken.
 */

import sade from "sade";
import { runSeeds } from "./runSeeds";

sade("soak", true)
    .option("--seeds", "Seeds to play, as 7, 1-50 or 3,8,20-25", "1-50")
    .option("--jobs", "Plays at a time; 1 to 20", "3")
    .option("--seconds", "Time within which faults begin", "24")
    .option("--program", "Program of the platform to play", "target/platform/main.js")
    .option("--direct", "No faults between programs, for programs that listen only where they are announced")
    .option("--keep", "Keep the logs of plays without violations, too")
    .action(async flags => {
        process.exitCode = await runSeeds(flags);
    })
    .parse(process.argv);
