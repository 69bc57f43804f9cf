/**
 * A binary heap with the smallest item on top, whose items can be removed from any place.
 * Changes are O(log n); items are told apart by identity.
 */
export class Heap<T> {
  private readonly items: T[] = [];

  private readonly places = new Map<T, number>();

  public constructor(private readonly compare: (left: T, right: T) => number) {}

  public get size(): number {
    return this.items.length;
  }

  public peek(): T | undefined {
    return this.items[0];
  }

  public push(item: T): void {
    this.put(item, this.items.length);
    this.raise(this.items.length - 1);
  }

  /** Removes the item; answers whether it was held. */
  public remove(item: T): boolean {
    const place = this.places.get(item);
    if (place === undefined) return false;
    this.places.delete(item);
    const last = this.items.pop() as T;
    if (place === this.items.length) return true;
    this.put(last, place);
    this.raise(place);
    this.lower(this.places.get(last) as number);
    return true;
  }

  private put(item: T, place: number): void {
    this.items[place] = item;
    this.places.set(item, place);
  }

  private isBefore(left: number, right: number): boolean {
    return this.compare(this.items[left] as T, this.items[right] as T) < 0;
  }

  private swap(left: number, right: number): void {
    const item = this.items[left] as T;
    this.put(this.items[right] as T, left);
    this.put(item, right);
  }

  private raise(start: number): void {
    let place = start;
    while (place > 0) {
      const parent = Math.floor((place - 1) / 2);
      if (!this.isBefore(place, parent)) return;
      this.swap(place, parent);
      place = parent;
    }
  }

  private lower(start: number): void {
    let place = start;
    for (;;) {
      const left = 2 * place + 1;
      if (left >= this.items.length) return;
      const right = left + 1;
      const child = right < this.items.length && this.isBefore(right, left) ? right : left;
      if (!this.isBefore(child, place)) return;
      this.swap(child, place);
      place = child;
    }
  }
}
