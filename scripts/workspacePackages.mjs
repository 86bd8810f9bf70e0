// Resolves workspace packages to their sources when bundling.
import { readdirSync } from "node:fs";
import { resolve } from "node:path";

/** An esbuild plugin; registry packages stay external when `external` is true. */
export const newWorkspaceResolver = (root, { external }) => {
    const packages = new Map([
        ...readdirSync(resolve(root, "packages")).map(name => [
            `@anvilmux/${name}`,
            resolve(root, "packages", name, "src/index.ts"),
        ]),
        ["@anvilmux/stand-ins", resolve(root, "stand-ins/src/index.ts")],
        ["@anvilmux/platform", resolve(root, "platform/src/index.ts")],
    ]);
    return {
        name: "workspace-packages",
        setup(context) {
            context.onResolve({ filter: /^[^./]/ }, args => {
                if (args.kind === "entry-point") {
                    return undefined;
                }
                const path = packages.get(args.path);
                if (path) {
                    // Allows tree shaking of code that a program does not use.
                    return { path, sideEffects: false };
                }
                return external ? { path: args.path, external: true } : undefined;
            });
        },
    };
};
