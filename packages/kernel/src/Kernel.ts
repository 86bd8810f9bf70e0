/**
 * The micro-kernel: services are defined by name, started after the services they require,
 * looked up by name while running and stopped in reverse order.
 */

import { getErrorMessage } from "@anvilmux/common";
import Emittery from "emittery";
import { KernelError } from "./errors";
import { getStartOrder } from "./startOrder";
import type { KernelEvents, RunningServices, ServiceDefinition, ServiceToken } from "./types";

export class Kernel implements RunningServices {
    readonly events = new Emittery<KernelEvents>();
    private readonly definitions = new Map<string, ServiceDefinition<unknown>>();
    private readonly running = new Map<string, unknown>();
    private startOrder: readonly string[] = [];

    /** Adds a service; throws when its name is already defined. */
    define<Service>(definition: ServiceDefinition<Service>): this {
        const { name } = definition.token;
        if (this.definitions.has(name)) {
            throw new KernelError("duplicate-service", `service "${name}" is defined twice`);
        }
        this.definitions.set(name, definition as ServiceDefinition<unknown>);
        return this;
    }

    /** The running service that `token` names; throws when it does not run. */
    get<Service>(token: ServiceToken<Service>): Service {
        if (!this.running.has(token.name)) {
            throw new KernelError("service-not-running", `service "${token.name}" is not running`);
        }
        return this.running.get(token.name) as Service;
    }

    /** The running service that `token` names, or undefined when this process does not run it. */
    find<Service>(token: ServiceToken<Service>): Service | undefined {
        return this.running.get(token.name) as Service | undefined;
    }

    /** Starts every service. When one fails, those already started are stopped and a `KernelError` is thrown. */
    async start(): Promise<void> {
        this.startOrder = getStartOrder([...this.definitions.values()]);
        for (const name of this.startOrder) {
            await this.startService(name);
        }
    }

    /** Stops every running service in reverse start order; failures are emitted, not thrown. */
    async stop(): Promise<void> {
        for (const name of [...this.startOrder].reverse()) {
            await this.stopService(name);
        }
    }

    private async startService(name: string): Promise<void> {
        const definition = this.definitions.get(name)!;
        try {
            this.running.set(name, await definition.start(this));
        }
        catch (error) {
            await this.stop();
            throw new KernelError(
                "start-failed",
                `service "${name}" failed to start: ${getErrorMessage(error)}`,
                error,
            );
        }
        void this.events.emit("serviceStarted", { name });
    }

    private async stopService(name: string): Promise<void> {
        if (!this.running.has(name)) {
            return;
        }
        const service = this.running.get(name);
        this.running.delete(name);
        try {
            await this.definitions.get(name)!.stop?.(service);
            void this.events.emit("serviceStopped", { name });
        }
        catch (error) {
            void this.events.emit("stopFailed", { name, error });
        }
    }
}
