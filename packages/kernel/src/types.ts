/** Service tokens and definitions. */

/** A service name that carries the type of the service. */
export interface ServiceToken<Service> {
    readonly name: string;
    /** Never set; carries the type of the service. */
    readonly type?: Service;
}

/** Looks up running services by name. */
export interface RunningServices {
    /** The running service that `token` names; throws `KernelError` when it does not run. */
    readonly get: <Service>(token: ServiceToken<Service>) => Service;
    /** The running service that `token` names, or undefined when this process does not run it. */
    readonly find: <Service>(token: ServiceToken<Service>) => Service | undefined;
}

/** How to start and stop one service. */
export interface ServiceDefinition<Service> {
    readonly token: ServiceToken<Service>;
    /** Services that must run before this one starts and until it has stopped. */
    readonly requires?: readonly ServiceToken<unknown>[];
    readonly start: (services: RunningServices) => Service | Promise<Service>;
    readonly stop?: (service: Service) => void | Promise<void>;
}

/** Events the kernel emits. */
export interface KernelEvents {
    readonly serviceStarted: { readonly name: string; };
    readonly serviceStopped: { readonly name: string; };
    readonly stopFailed: { readonly name: string; readonly error: unknown; };
}

export const newServiceToken = <Service>(name: string): ServiceToken<Service> => ({ name });
