/** Orders services so that each starts after the ones it requires. */

import { KernelError } from "./errors";
import type { ServiceDefinition } from "./types";

/** Names in start order; throws for an unknown or circular requirement. */
export const getStartOrder = (definitions: readonly ServiceDefinition<unknown>[]): readonly string[] => {
    const byName = new Map(definitions.map(definition => [definition.token.name, definition]));
    const ordered: string[] = [];
    const visit = (name: string, path: readonly string[]): void => {
        if (ordered.includes(name)) {
            return;
        }
        if (path.includes(name)) {
            throw new KernelError(
                "circular-requirement",
                `services require each other: ${[...path, name].join(" -> ")}`,
            );
        }
        const definition = byName.get(name);
        if (!definition) {
            throw new KernelError("unknown-service", `service "${path.at(-1)}" requires unknown service "${name}"`);
        }
        definition.requires?.forEach(token => visit(token.name, [...path, name]));
        ordered.push(name);
    };
    definitions.forEach(definition => visit(definition.token.name, []));
    return ordered;
};
