/** Compares the routes in docs/openapi.yaml with those that the public server registers. */

import { newApp } from "@anvilmux/anvilmux";
import { Kernel } from "@anvilmux/kernel";
import { readFileSync } from "node:fs";
import { parse } from "yaml";

interface Layer {
    readonly route?: {
        readonly path: string | readonly string[];
        readonly methods: Readonly<Record<string, boolean>>;
    };
}

const toTemplate = (path: string): string => path.replaceAll(/\/[:*](\w+)/g, "/{$1}");

const getRegisteredRoutes = (): readonly string[] => {
    const { router } = newApp(new Kernel()) as unknown as { readonly router: { readonly stack: readonly Layer[]; }; };
    return router.stack.flatMap(({ route }) => {
        if (!route) {
            return [];
        }
        const paths = typeof route.path === "string" ? [route.path] : route.path;
        const methods = route.methods["_all"] || Object.keys(route.methods).length > 5
            ? ["any"]
            : Object.keys(route.methods);
        return paths.flatMap(path => methods.map(method => `${method} ${toTemplate(path)}`));
    }).sort();
};

const getDescribedRoutes = (): readonly string[] => {
    const document = parse(readFileSync("docs/openapi.yaml", "utf8")) as {
        readonly paths: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
    };
    return Object.entries(document.paths).flatMap(([path, item]) =>
        item["x-any-method"] ? [`any ${path}`] : Object.keys(item).map(method => `${method} ${path}`)
    ).sort();
};

test("docs/openapi.yaml describes exactly the registered routes", () => {
    expect(getDescribedRoutes()).toEqual(getRegisteredRoutes());
});
