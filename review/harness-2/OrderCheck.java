import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The rule ONE on the orders that arrived at one server which checks no fences: no two holders with
 * one fence, no lower fence after a higher one, and no turn of holders within the lease time.
 */
final class OrderCheck {

  /** {@code lease_ttl_ms} of the Accra site. */
  private static final long LEASE_TIME_MILLISECONDS = 3_000;

  private OrderCheck() {}

  /** Returns a description of each breach. */
  static List<String> breaches(List<Server.Order> arrived) {
    List<Server.Order> orders = new ArrayList<>(arrived);
    orders.sort(Comparator.comparingLong(Server.Order::at));
    List<String> breaches = new ArrayList<>();
    Map<Long, String> holderOfFence = new HashMap<>();
    long highestFence = Long.MIN_VALUE;
    Server.Order former = null;
    for (Server.Order order : orders) {
      String known = holderOfFence.putIfAbsent(order.fence(), order.holder());
      if (known != null && !known.equals(order.holder())) {
        breaches.add("one fence, two holders: " + known + " and " + order);
      }
      if (order.fence() < highestFence) {
        breaches.add("lower fence after " + highestFence + ": " + order);
      }
      highestFence = Math.max(highestFence, order.fence());
      boolean turn = former != null && !former.holder().equals(order.holder());
      if (turn && order.at() - former.at() < LEASE_TIME_MILLISECONDS) {
        breaches.add(
            "turn after " + (order.at() - former.at()) + " ms from " + former.holder() + " to " + order);
      }
      former = order;
    }
    return breaches;
  }
}
