/** Requests of a newer configuration, which several control instances announce. */

import { toAddress, VirtualTime } from "@anvilmux/common";
import type { Address, Milliseconds } from "@anvilmux/common";
import { ConfigurationFetch } from "../src/ConfigurationFetch";

const [first, second, third] = ["one:1", "two:1", "three:1"].map(toAddress) as [Address, Address, Address];

class FetchFixture {
    readonly time = new VirtualTime();
    index = 0;
    readonly requested: Address[] = [];
    onRequest: (control: Address) => void = () => undefined;
    readonly receivedAt = new Map<Address, Milliseconds>();
    readonly fetch = new ConfigurationFetch({
        clock: this.time,
        timers: this.time,
        getIndex: () => this.index,
        request: control => {
            this.requested.push(control);
            this.onRequest(control);
        },
        getLastReceivedAt: control => this.receivedAt.get(control),
    });

    announce(index: number, controls: readonly Address[] = [first, second, third]): void {
        controls.forEach(control => this.fetch.handleNotice(control, index));
    }

    /** A configuration arrives whole and is applied. */
    receive(control: Address, index: number, characters = 1_000): void {
        this.index = Math.max(this.index, index);
        this.fetch.handleReceived(control, index, characters);
    }

    /** Parts of a line or heartbeats arrive from control instances. */
    async receiveData(controls: readonly Address[], duration: Milliseconds): Promise<void> {
        for (let elapsed = 0; elapsed < duration; elapsed += 100) {
            controls.forEach(control => this.receivedAt.set(control, this.time.now()));
            await this.time.advance(100);
        }
    }
}

test("each control instance sends a copy of a configuration that is still on its way", async () => {
    const fixture = new FetchFixture();
    fixture.announce(4);
    await fixture.receiveData([first], 1_200);
    fixture.receive(first, 4);
    await fixture.time.advance(5_000);
    expect(fixture.requested).toEqual([first]);
});

test("a configuration stays out while the control instance that announced it first is frozen", async () => {
    const fixture = new FetchFixture();
    fixture.announce(4);
    await fixture.time.advance(500);
    expect(fixture.requested).toEqual([first, second]);
    await fixture.receiveData([second], 300);
    fixture.receive(second, 4);
    await fixture.time.advance(5_000);
    expect(fixture.requested).toEqual([first, second]);
});

test("a configuration stays out while a control instance sends other things only", async () => {
    const fixture = new FetchFixture();
    fixture.announce(4);
    await fixture.receiveData([first, second, third], 2_000);
    expect(fixture.requested).toEqual([first, second]);
});

test("a configuration is lost with the connection on which it was on its way", () => {
    const fixture = new FetchFixture();
    fixture.announce(4);
    fixture.fetch.handleDisconnected(first);
    expect(fixture.requested).toEqual([first, second]);
    fixture.announce(4, [first]);
    fixture.fetch.handleDisconnected(second);
    expect(fixture.requested).toEqual([first, second, third]);
});

test("a change that was announced while an earlier one arrived is missed", async () => {
    const fixture = new FetchFixture();
    fixture.announce(4);
    fixture.announce(5);
    fixture.receive(first, 4);
    await fixture.time.advance(1);
    expect(fixture.requested).toEqual([first, first]);
    fixture.receive(first, 5);
    await fixture.time.advance(1_000);
    expect(fixture.requested).toEqual([first, first]);
});

test("each of many large changes in quick succession is fetched, so that little else gets through", async () => {
    const fixture = new FetchFixture();
    const [changes, periodMs, transferMs, characters] = [30, 50, 100, 300_000];
    let newest = 0;
    fixture.onRequest = control => fixture.time.after(transferMs, () => fixture.receive(control, newest, characters));
    for (newest = 1; newest < changes; newest++) {
        fixture.announce(newest);
        await fixture.time.advance(periodMs);
    }
    fixture.announce(newest);
    await fixture.time.advance(500);
    expect([fixture.index, fixture.requested.length]).toEqual([changes, 5]);
});

test("a configuration that is refused here is requested without end", async () => {
    const fixture = new FetchFixture();
    fixture.announce(4);
    for (const control of [first, second, third, first]) {
        fixture.fetch.handleReceived(control, 4, 1_000);
        await fixture.time.advance(1);
    }
    await fixture.time.advance(5_000);
    expect(fixture.requested).toEqual([first, second, third]);
});

test("the only control instance is asked again and again for a large configuration", async () => {
    const fixture = new FetchFixture();
    fixture.announce(4, [first]);
    await fixture.receiveData([first], 4_000);
    expect(fixture.requested).toEqual([first]);
});

test("a stopped fetch asks nobody any more", async () => {
    const fixture = new FetchFixture();
    fixture.announce(4, [first, second]);
    const before = fixture.requested.length;
    fixture.fetch.stop();
    await fixture.time.advance(5_000);
    expect(fixture.requested).toHaveLength(before);
});
