// Bundles the library, the command line, the bench runner and the stand-in processes into dist/.
// Workspace packages are inlined; registry packages stay external.
import { build } from "esbuild";
import { readdirSync, rmSync } from "node:fs";
import { resolve } from "node:path";

const root = resolve(import.meta.dirname, "..");

const workspacePackages = new Map([
    ...readdirSync(resolve(root, "packages")).map(name => [
        `@anvilmux/${name}`,
        resolve(root, "packages", name, "src/index.ts"),
    ]),
    ["@anvilmux/stand-ins", resolve(root, "stand-ins/src/index.ts")],
]);

const resolveWorkspacePackages = {
    name: "workspace-packages",
    setup(context) {
        context.onResolve({ filter: /^[^./]/ }, args => {
            if (args.kind === "entry-point") {
                return undefined;
            }
            const path = workspacePackages.get(args.path);
            return path ? { path } : { path: args.path, external: true };
        });
    },
};

rmSync(resolve(root, "dist"), { recursive: true, force: true });
await build({
    absWorkingDir: root,
    entryPoints: {
        anvilmux: "anvilmux-daemon/src/main.ts",
        library: "packages/anvilmux/src/index.ts",
        bench: "bench/src/main.ts",
        memberProcess: "bench/src/memberProcess.ts",
        forwarder: "bench/src/forwarder.ts",
        upstreamProcess: "bench/src/upstreamProcess.ts",
    },
    outdir: "dist",
    bundle: true,
    splitting: true,
    format: "esm",
    platform: "node",
    target: "node20",
    sourcemap: true,
    logLevel: "warning",
    plugins: [resolveWorkspacePackages],
});
