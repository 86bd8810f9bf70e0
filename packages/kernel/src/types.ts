/** Names of services with the types behind them. */

import type { Kernel } from "./Kernel";

/** A service name that carries the type of the service. */
export interface ServiceToken<Service> {
    readonly name: string;
    /** Never set; holds the type. */
    readonly type?: Service;
}

/** How to start and stop one service. */
export interface ServiceDefinition<Service> {
    readonly token: ServiceToken<Service>;
    /** Services that must run before this one starts and until it has stopped. */
    readonly requires?: readonly ServiceToken<unknown>[];
    readonly start: (kernel: Kernel) => Service | Promise<Service>;
    readonly stop?: (service: Service) => void | Promise<void>;
}

/** Events the kernel emits. */
export interface KernelEvents {
    readonly serviceStarted: { readonly name: string; };
    readonly serviceStopped: { readonly name: string; };
    readonly stopFailed: { readonly name: string; readonly error: unknown; };
}

export const newServiceToken = <Service>(name: string): ServiceToken<Service> => ({ name });
