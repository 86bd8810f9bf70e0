// Fails when the committed generated code differs from the current output of the generator.
import { execFileSync } from "node:child_process";

const folder = "packages/protocol/src/generated";
execFileSync("npx", ["buf", "generate"], { stdio: "inherit" });
const status = execFileSync("git", ["status", "--porcelain", "--", folder], { encoding: "utf8" });
if (status.trim() !== "") {
    console.error(`generated code in ${folder} is not up to date:\n${status}`);
    process.exit(1);
}
