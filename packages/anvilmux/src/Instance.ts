/** One anvilmux instance: a kernel with the services that its settings enable. */

import type { Address } from "@anvilmux/common";
import { Kernel } from "@anvilmux/kernel";
import { newSystemEnvironment } from "./environment";
import type { Environment } from "./environment";
import { publicServerToken } from "./http/PublicServer";
import { defineBaseServices, readSettingFile } from "./services/base";
import { defineControlServices } from "./services/control";
import { defineEntryServices } from "./services/entry";
import { definePeerServices, readPeerTls } from "./services/peers";
import type { Settings } from "./settings";
import { lifecycleToken, loggerToken, peerServerToken } from "./tokens";

export class Instance {
    readonly kernel = new Kernel();

    constructor(private readonly settings: Settings, environment: Environment = newSystemEnvironment()) {
        defineBaseServices(this.kernel, settings, environment);
        definePeerServices(this.kernel, settings, environment);
        defineControlServices(this.kernel, settings, environment);
        defineEntryServices(this.kernel, settings);
    }

    /** Starts all services. When one fails to start, those already started are stopped and the error is thrown. */
    async start(): Promise<void> {
        await this.kernel.start();
        const logger = this.kernel.get(loggerToken);
        this.kernel.events.on("stopFailed", event => {
            logger.warn("service failed to stop", { service: event.name });
        });
        logger.info("started", { publicAddress: this.publicAddress, peerAddress: this.peerAddress });
    }

    get publicAddress(): Address {
        return this.kernel.get(publicServerToken).address;
    }

    get peerAddress(): Address {
        return this.kernel.get(peerServerToken).address;
    }

    get isReady(): boolean {
        return this.kernel.get(lifecycleToken).isReady;
    }

    /** Reads the certificate files again and uses them for new connections. */
    reloadTls(): void {
        const peerTls = readPeerTls(this.settings);
        if (peerTls) {
            this.kernel.get(peerServerToken).reloadTls(peerTls);
        }
        if (this.settings["tls-certificate"] !== "" && readSettingFile(this.settings["tls-key"]) !== "") {
            this.kernel.get(publicServerToken).reloadTls(this.settings);
        }
    }

    /** Drains the instance, then stops it. */
    async leave(): Promise<void> {
        await this.kernel.get(lifecycleToken).drain();
        await this.kernel.stop();
    }

    /** Stops immediately; connections with open requests are closed. */
    async stop(): Promise<void> {
        await this.kernel.stop();
    }
}
